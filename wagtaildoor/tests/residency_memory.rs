//! Memory of the residency index, measured by a counting allocator.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Instant,
};

use wagtaildoor::{
    prefix::LevelPrefix,
    residency::ResidencyIndex, //
};

/// Limit of the index under test.
const MAX_PREFIXES: usize = 10_000;
/// Memory allowed per prefix, in bytes: 64 MiB for the 100,000 prefixes of a routing table.
const MAX_PREFIX_BYTES: usize = 64 * 1024 * 1024 / 100_000;

/// Bytes that are currently allocated.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a byte counter.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: every call is passed to the system allocator unchanged; only a counter is added.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Confirms prefixes at `holders` endpoints each. Returns the bytes used and the prefixes kept.
fn fill(prefixes: u64, holders: u32) -> (usize, usize) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let start = Instant::now();
    let mut index = ResidencyIndex::new(MAX_PREFIXES, start);
    for number in 1..=prefixes {
        let id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let levels = [LevelPrefix { id, tokens: 100 }];
        for slot in 0..holders {
            index.confirm(slot, &levels, &[id], start);
        }
    }
    let used = ALLOCATED.load(Ordering::Relaxed) - before;
    (used, index.len())
}

#[test]
fn memory_stays_bounded() {
    let cases = [
        ("one holder each", 50_000, 1),
        ("three holders each", 20_000, 3),
        ("more holders than are kept", 20_000, 40),
    ];
    for (name, prefixes, holders) in cases {
        let (used, kept) = fill(prefixes, holders);
        println!(
            "{name}: {used} bytes for {kept} prefixes, {} each",
            used / kept
        );
        assert!(kept <= MAX_PREFIXES, "{name}: {kept} prefixes");
        let limit = MAX_PREFIXES * MAX_PREFIX_BYTES;
        assert!(used <= limit, "{name}: {used} bytes");
    }
}
