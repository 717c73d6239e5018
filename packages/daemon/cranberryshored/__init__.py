"""Entry daemon of cranberryshore: input and output around the decisions of the core."""
