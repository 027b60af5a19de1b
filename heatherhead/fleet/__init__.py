"""What an instance knows of the others, and of the store, directly or through them."""
