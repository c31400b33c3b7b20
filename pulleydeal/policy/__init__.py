"""What operators decide beyond the platform's file: checked expressions, never code."""
