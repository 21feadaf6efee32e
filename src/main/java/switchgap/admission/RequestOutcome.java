package switchgap.admission;

/** How a call that passed ended. CROWDED: pushed back before its start target was over, no room being found. */
public enum RequestOutcome {
    IN_TIME, LATE, SATURATED, OTHER
}
