"""Entry daemon of cranberryshore: performs the input and output for the decisions of the core."""
