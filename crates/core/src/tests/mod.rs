//! Unit tests of individual types of the scheduler.

mod backoff;
mod queues;
mod rates;
mod ring;
mod tenant_shares;
mod time;
mod worker_table;
