package switchgap.level;

/** How a call that passed ended. CROWDED: pushed back before its start target was over, no room being found. */
public enum Outcome { IN_TARGET, LATE, CROWDED, OTHER }
