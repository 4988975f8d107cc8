//! Rules on quotas, and on the messages and calls by which gateways agree on them.
