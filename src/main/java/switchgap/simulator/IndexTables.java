package switchgap.simulator;

import switchgap.policy.state.IndexAllocator;

/** The policy's small indices for the simulator's ids. */
record IndexTables(IndexAllocator requests, IndexAllocator workers, IndexAllocator functions) {
  /** Tables without an entry. */
  IndexTables() {
    this(new IndexAllocator(), new IndexAllocator(), new IndexAllocator());
  }
}
