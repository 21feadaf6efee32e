package switchgap.simulator;

import switchgap.policy.state.IndexAllocator;

/** Maps the simulator's ids to the small indices by which the policy refers to the same objects. */
record IndexTables(IndexAllocator requests, IndexAllocator workers, IndexAllocator functions) {
  /** Creates empty tables. */
  IndexTables() {
    this(new IndexAllocator(), new IndexAllocator(), new IndexAllocator());
  }
}
