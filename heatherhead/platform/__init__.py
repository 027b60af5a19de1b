"""Translates between the platform's wire and the product; decides nothing."""
