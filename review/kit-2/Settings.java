/** Settings of a small deployment in the form of the platform's configuration. */
final class Settings {
  private Settings() {}

  static String of(int routers, int index) {
    return "{\"Balancers\":" + routers + ",\"Me\":" + index + ",\"MyZone\":0,\"TickUs\":4000,"
        + "\"OverShareWorth\":0.2,\"Weights\":\"rough\",\"Discovery\":\"automatic\","
        + "\"Zones\":[\"east\",\"west\"],\"Skus\":[\"std\"],\"Costs\":{\"CrossZone\":0.047,\"Probe\":0.009},"
        + "\"Lanes\":[{\"Name\":\"status-refresh\",\"AimUs\":400000,\"DeadlineUs\":2500000,\"Worth\":1.0,"
        + "\"LateValue\":0.1,\"Effect\":\"retryable\",\"Group\":\"all\",\"MemorySpanUs\":5000000},"
        + "{\"Name\":\"notice-send\",\"AimUs\":800000,\"DeadlineUs\":3000000,\"Worth\":2.0,"
        + "\"LateValue\":0.3,\"Effect\":\"fragile\",\"Group\":\"all\",\"MemorySpanUs\":5000000}],"
        + "\"Tenants\":[{\"Name\":\"shop\",\"QuotaPerS\":100000.0}],"
        + "\"Limits\":{\"MaxAttempts\":3,\"SecondCopies\":false,\"Probes\":true,\"Cancel\":true,"
        + "\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000,\"DialTimeoutUs\":250000,"
        + "\"ConnIdleUs\":30000000,\"Multiplex\":100,\"MaxOpen\":21555},"
        + "\"Guarantees\":{\"ColdFrom\":0.21,\"ColdUs\":18000000,\"FallMultiple\":3.0,"
        + "\"OverloadForUs\":1000000,\"AskWithinUs\":10000000,\"DrainGraceUs\":500000},"
        + "\"Extra\":{\"IfCold\":\"miss\",\"PlacementCalls\":true,\"IdleLifeUs\":9600000,\"LoadFree\":0.0,"
        + "\"LoadRatio\":0.0,\"LoadSpanUs\":0,\"MemoryPrice\":0.0,\"MachineMb\":[4160.0],"
        + "\"LoadWaitUs\":10000000,\"SaysCompany\":true},"
        + "\"Telemetry\":{\"Fields\":[\"load_share\",\"concurrent\"],\"How\":\"piggyback\"}}";
  }
}
