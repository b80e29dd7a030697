"""The platform's rows and objects, as the rest of the product reads and writes them."""
