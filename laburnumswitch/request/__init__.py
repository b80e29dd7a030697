"""Request handling: routing, delivery, idempotency keys and the job API."""
