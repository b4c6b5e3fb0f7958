//! The log of a scheduler process of a build that does not record which attempts carried the lease's fields.

use oakshed_jobs::record::{JobId, Record, LEASE_FIELDS_RECORDED, WITHOUT_FIELDS_START};

/// Changes records to what such a build writes. `start_ms` is the start time of the workers in the list.
pub(super) fn rewrite(records: &mut [Record], start_ms: u64) {
    for record in records {
        // A record of an unknown job in its place keeps the numbers of the others.
        if *record == LEASE_FIELDS_RECORDED {
            *record = Record::Unsent {
                id: JobId(0),
                token: 0,
            };
        }
        for lease in record.leases_mut() {
            if lease.start_ms == WITHOUT_FIELDS_START {
                lease.start_ms = start_ms;
            }
        }
    }
}
