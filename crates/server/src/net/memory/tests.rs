//! Tests of the budget's shares and of the attribution to holders.

use super::*;

#[test]
fn heap_limit_excludes_the_program_of_each_process() {
    let memory = Memory::new(32 << 20);
    let alone = memory.heap_limit();
    assert!(alone + PROGRAM_BYTES < 32 << 20, "{alone}");
    memory.set_process_count(2);
    assert!(2 * (memory.heap_limit() + PROGRAM_BYTES) < 32 << 20);
    assert!(Memory::new(4 << 20).heap_limit() >= 1 << 20);
}

#[test]
fn charged_bytes_are_counted_until_they_are_dropped() {
    let memory = Memory::new(32 << 20);
    let mut charge = memory.charge(Holder::Responses, 100);
    charge.resize(300);
    assert_eq!(memory.charged_to(Holder::Responses), 300);
    assert_eq!(memory.charged_to(Holder::WorkerLines), 0);
    drop(charge);
    assert_eq!(memory.charged_to(Holder::Responses), 0);
}
