"""Runs keep the versions that they began with: releases, runs, which hosts serve a pinned invocation. Pure. See
docs/pins.md."""
