"""The platform's discovery: lists and changes as the module's events (`core`, pure); long polls (`agent`)."""
