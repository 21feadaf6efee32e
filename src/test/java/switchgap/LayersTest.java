package switchgap;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import org.junit.jupiter.api.Test;
import switchgap.config.JsonDocument;
import switchgap.config.PropertyRouterSettings;
import switchgap.net.WallClock;

/**
 * Checks that package dependencies follow the layers, and that the packages of the policy and the
 * core use no sockets, threads or clocks.
 */
class LayersTest {
  private final JavaClasses allClasses =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("switchgap");

  /** Assigns each package to a layer. */
  private static LayeredArchitecture layers() {
    return routerLayers(
            layeredArchitecture().consideringOnlyDependenciesInAnyPackage("switchgap.."))
        .layer("emulator")
        .definedBy("switchgap.testbed.emulator")
        .layer("scenarios")
        .definedBy("switchgap.testbed.scenario", "switchgap.testbed.experiment")
        .layer("testbed support")
        .definedBy("switchgap.testbed.process", "switchgap.testbed.invariant")
        .layer("soak")
        .definedBy("switchgap.testbed.soak")
        .layer("simulator")
        .definedBy("switchgap.simulator")
        .layer("cli")
        .definedBy("switchgap.cli");
  }

  private static LayeredArchitecture routerLayers(LayeredArchitecture architecture) {
    return architecture
        .layer("policy")
        .definedBy("switchgap.policy", "switchgap.policy.api", "switchgap.policy.state")
        .layer("admission")
        .definedBy("switchgap.admission")
        .layer("planner")
        .definedBy("switchgap.planner")
        .layer("router")
        .definedBy("switchgap.router")
        .layer("net")
        .definedBy("switchgap.net")
        .layer("config")
        .definedBy("switchgap.config")
        .layer("gateway protocols")
        .definedBy(
            "switchgap.protocol.inference",
            "switchgap.endpoints",
            "switchgap.protocol.invoke",
            "switchgap.planner.link")
        .layer("event loop")
        .definedBy("switchgap.eventloop")
        .layer("platform protocols")
        .definedBy("switchgap.protocol.thrift", "switchgap.protocol.resp", "switchgap.protocol.sse")
        .layer("platform")
        .definedBy("switchgap.server.platform")
        .layer("gateway")
        .definedBy("switchgap.server.gateway");
  }

  private void assertOnlyAccessedBy(String layer, String... accessors) {
    layers().whereLayer(layer).mayOnlyBeAccessedByLayers(accessors).check(allClasses);
  }

  @Test
  void packagesHaveNoCycles() {
    slices().matching("switchgap.(*)..").should().beFreeOfCycles().check(allClasses);
    slices().matching("switchgap.testbed.(*)..").should().beFreeOfCycles().check(allClasses);
  }

  @Test
  void layersAreAccessedOnlyFromTheAllowedLayers() {
    assertOnlyAccessedBy("event loop", "gateway", "platform");
    assertOnlyAccessedBy("platform protocols", "platform", "gateway protocols");
    layers()
        .whereLayer("platform protocols")
        .mayOnlyAccessLayers("policy", "router", "net")
        .check(allClasses);
    assertOnlyAccessedBy("gateway protocols", "gateway", "platform", "cli");
    assertOnlyAccessedBy("gateway", "scenarios", "cli");
    assertOnlyAccessedBy("platform", "cli");
    assertOnlyAccessedBy(
        "net",
        "soak",
        "gateway protocols",
        "platform protocols",
        "platform",
        "gateway",
        "emulator",
        "scenarios",
        "cli");
  }

  @Test
  void routerDoesNotDependOnTheTestbed() {
    assertOnlyAccessedBy("emulator", "scenarios");
    assertOnlyAccessedBy("scenarios", "cli");
    assertOnlyAccessedBy("soak", "cli");
    assertOnlyAccessedBy("simulator", "cli");
    assertOnlyAccessedBy("testbed support", "scenarios", "soak", "cli");
    layers().whereLayer("testbed support").mayNotAccessAnyLayer().check(allClasses);
    layers().whereLayer("cli").mayNotBeAccessedByAnyLayer().check(allClasses);
  }

  @Test
  void jsonAndPropertySettingsAreReadOnlyByTheirOwners() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "switchgap.config", "switchgap.endpoints", "switchgap.server.platform")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName(JsonDocument.class.getName())
        .check(allClasses);
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "switchgap.config", "switchgap.server.platform", "switchgap.simulator")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName(PropertyRouterSettings.class.getName())
        .check(allClasses);
  }

  @Test
  void policyAndCoreUseNoSocketThreadOrClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "switchgap.policy",
            "switchgap.policy.api",
            "switchgap.policy.state",
            "switchgap.router",
            "switchgap.admission",
            "switchgap.planner")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio..",
            "java.io..",
            "org.glassfish..",
            "java.util.concurrent..",
            "org.slf4j..",
            "com.fasterxml..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(allClasses);
  }

  /** Durations must be measured with the monotonic clock, because the wall clock may be stepped. */
  @Test
  void wallClockIsReadInOneClassOnly() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName(WallClock.class.getName())
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Instant.class, "now")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Clock")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.Date")
        .orShould()
        .dependOnClassesThat()
        .resideInAPackage("java.time.chrono")
        .orShould()
        .callMethod(LocalDateTime.class, "now")
        .orShould()
        .callMethod(ZonedDateTime.class, "now")
        .check(allClasses);
  }
}
