"""Commands of this repository; not part of the product."""
