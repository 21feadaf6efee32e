package switchgap.emulator;

/**
 * What a stand-in knows of a function: memory of a copy in MB, jobs a copy runs at a time, microseconds of a load,
 * mean microseconds of work on a core of speed 1 and of waiting, spread of the work (of a lognormal), and whether
 * its repeats are dropped: microseconds for which a fingerprint is known, 0 for none.
 */
public record FunctionModel(String name, int workload, double memory, int lanes, long load, double work,
    double io,
    double spread, long knownFor) {}
