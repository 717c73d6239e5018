"""Package proof."""
