//! Tests of the budget's shares and of the attribution to holders.

use super::*;

#[test]
fn heap_limit_excludes_the_program_of_each_process() {
    let memory = Memory::new(32 << 20, 1);
    let alone = memory.heap_limit();
    assert!(alone + PROGRAM_BYTES < 32 << 20, "{alone}");
    memory.set_process_count(2);
    assert!(2 * (memory.heap_limit() + PROGRAM_BYTES) < 32 << 20);
    let shared = memory.heap_limit();
    memory.on_takeover();
    assert!(memory.heap_limit() < shared);
    memory.set_process_count(1);
    assert_eq!(memory.heap_limit(), alone);
    assert!(Memory::new(4 << 20, 1).heap_limit() >= 1 << 20);
}

#[test]
fn charged_bytes_are_counted_until_they_are_dropped() {
    let memory = Memory::new(32 << 20, 1);
    let mut charge = memory.charge(Holder::Responses, 100);
    charge.resize(300);
    assert_eq!(memory.charged_to(Holder::Responses), 300);
    assert_eq!(memory.charged_to(Holder::WorkerLines), 0);
    drop(charge);
    assert_eq!(memory.charged_to(Holder::Responses), 0);
}

#[test]
fn expected_results_are_reserved_until_they_arrive() {
    let memory = Memory::new(1 << 30, 1);
    let first = ExpectedResult::admit(&memory, 0, 0).expect("admitted");
    first.on_result(50_000);
    assert_eq!(memory.reserved.get(), 0);
    let second = ExpectedResult::admit(&memory, 0, 0).expect("admitted");
    assert_eq!(memory.reserved.get(), 50_000);
    second.on_received(20_000);
    assert_eq!(memory.reserved.get(), 30_000);
    drop(second);
    assert_eq!(memory.reserved.get(), 0);
}
