"""corallanding: a steward that tells plain proxies where each slice of work goes."""
