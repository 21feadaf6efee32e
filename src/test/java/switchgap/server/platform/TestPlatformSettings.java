package switchgap.server.platform;

import java.io.IOException;
import java.util.Map;
import switchgap.config.JsonDocument;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.api.RouterSettings;

/** Settings for tests, in the JSON format of the platform. */
public final class TestPlatformSettings {
  static final String SETTINGS =
      """
      {"Balancers":1,"Me":0,"MyZone":0,"TickUs":1000,"OverShareWorth":0.2,"Weights":"rough",\
      "Discovery":"automatic",
       "Zones":["east","west"],"Skus":["std"],"Costs":{"CrossZone":0.0},
       "Lanes":[{"Name":"again","AimUs":300000,"DeadlineUs":1000000,"Worth":1,\
      "LateValue":0.1,"Effect":"retryable","Group":"all","MemorySpanUs":5000000},
                {"Name":"once","AimUs":300000,"DeadlineUs":1000000,"Worth":2,"LateValue":0.1,\
      "Effect":"fragile","Group":"all","MemorySpanUs":5000000},
                {"Name":"keyed","AimUs":300000,"DeadlineUs":1000000,"Worth":1,"LateValue":0.1,\
      "Effect":"dedup","Group":"all","MemorySpanUs":1000000}],
       "Tenants":[{"Name":"shop","QuotaPerS":1000}],
       "Limits":{"MaxAttempts":3,"SecondCopies":false,"Probes":true,"Cancel":true,\
      "RetryAfter":true,"MaxRetryAfterUs":900000,
                 "DialTimeoutUs":250000,"ConnIdleUs":4000000,"Multiplex":100,"MaxOpen":1000},
       "Guarantees":{"ColdFrom":0.2,"ColdUs":2000000,"FallMultiple":3,\
      "OverloadForUs":1000000,"AskWithinUs":10000000,"DrainGraceUs":500000},
       "Extra":{"IfCold":"miss","PlacementCalls":true,"IdleLifeUs":5000000,"LoadFree":0,\
      "LoadRatio":0,"LoadSpanUs":0,"MemoryPrice":0,
                "MachineMb":[4000],"LoadWaitUs":4000000,"SaysCompany":true},
       "Telemetry":{"Fields":["load_share","concurrent"],"How":"piggyback"}}\
      """;

  private TestPlatformSettings() {}

  /** Parses {@link #SETTINGS} into typed settings. */
  public static RouterSettings routerSettings() throws IOException {
    Map<String, Object> members = JsonDocument.parseObject(SETTINGS);
    return new PropertyRouterSettings(JsonDocument.flatten(members));
  }
}
