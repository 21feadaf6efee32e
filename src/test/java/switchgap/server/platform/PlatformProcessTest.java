package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The router as a separate process that receives signals. */
class PlatformProcessTest extends PlatformProcessFixture {
  /**
   * Makes the configuration file a named pipe, so that the start of the process blocks until the
   * pipe is written and closed.
   */
  private void createConfigFileAsNamedPipe() throws Exception {
    runShell("mkfifo " + configFile);
  }

  /** The new configuration and SIGHUP arrive while the process reads the old configuration. */
  @Test
  void followsNewEventStreamAfterSighupDuringStart() throws Exception {
    createConfigFileAsNamedPipe();
    try (RespTestServer worker = RespTestServer.executingAll();
        EventStreamTestServer newStream =
            new EventStreamTestServer((connection, lastEventId, output) -> true)) {
      String config = configJson(MANY_SOCKETS, worker);
      startProcess("");
      // Blocks until the router reads the file, which it does after it has installed its signal
      // handlers.
      try (OutputStream pipe = Files.newOutputStream(configFile)) {
        Path nextConfigFile =
            Files.writeString(
                directory.resolve("next.json"),
                config.replace(
                    ":" + eventStream.address().getPort(), ":" + newStream.address().getPort()));
        Files.move(nextConfigFile, configFile, StandardCopyOption.REPLACE_EXISTING);
        signal("HUP");
        signal("HUP");
        assertThat(process.isAlive()).as(processLog()).isTrue();
        pipe.write(config.getBytes(StandardCharsets.UTF_8));
      }
      awaitServingPort();
      await(() -> newStream.hasClient());
      Files.writeString(configFile, "{"); // not valid JSON
      signal("HUP");
      await(() -> processLog().contains("keeping the current event stream"));
      signal("TERM");
      awaitCleanExit();
    }
  }

  @Test
  void exitsCleanlyOnSigtermDuringStart() throws Exception {
    createConfigFileAsNamedPipe();
    try (RespTestServer worker = RespTestServer.executingAll()) {
      String config = configJson(MANY_SOCKETS, worker);
      startProcess("");
      try (OutputStream pipe = Files.newOutputStream(configFile)) {
        signal("TERM");
        pipe.write(config.getBytes(StandardCharsets.UTF_8));
      }
      awaitCleanExit();
    }
  }

  @Test
  void answersRequestsDespiteSecondSigtermAndSighupDuringShutdown() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    try (RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.isExecution()) {
                allowReply.await();
              }
              return RespTestServer.executeAll(command, output);
            })) {
      startProcess(MANY_SOCKETS, worker);
      ThriftTestClient client = new ThriftTestClient(awaitServingPort());
      resources.add(client);
      client.submit(1, TestSubmit.idempotent(nextId()));
      await(() -> worker.executions().size() == 1);
      signal("TERM");
      int number = 1;
      do {
        client.heartbeat(++number);
      } while (client.receiveReply().healthy());
      signal("HUP");
      signal("TERM");
      await(() -> processLog().contains("SIGHUP"));
      allowReply.countDown();
      assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
      awaitCleanExit();
    }
  }

  /**
   * The event stream becomes available while idle clients use their whole quota of the descriptors.
   */
  @Test
  void idleClientsLeaveDescriptorsForEventStreamAndWorkers() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = eventStream.address().getPort();
      Files.writeString(configFile, configJson(120, worker));
      eventStream.close();
      startProcess("ulimit -n 120; ");
      int servedPort = awaitServingPort();
      for (int i = 0; i < 300; i++) {
        resources.add(new ThriftTestClient(servedPort));
      }
      Duration processorTimeBefore = processorTime();
      ThriftTestClient activeClient = connectUntilServed(servedPort);
      for (int number = 2; number <= 6; number++) {
        activeClient.submit(number, TestSubmit.idempotent(nextId()));
        assertThat(activeClient.receiveReply().outcome())
            .as(processLog())
            .isEqualTo(ReplyOutcome.SUCCEEDED);
      }
      try (EventStreamTestServer restarted =
          new EventStreamTestServer(port, (connection, lastEventId, output) -> true)) {
        await(() -> restarted.hasClient());
      }
      // No thread may busy-wait.
      assertThat(processorTime().minus(processorTimeBefore).toMillis()).isLessThan(1500);
      signal("TERM");
      awaitCleanExit();
    }
  }

  /** The file is overwritten in place, and the signal arrives while it is half written. */
  @Test
  void rereadsConfigurationHalfWrittenAtSighup() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll();
        EventStreamTestServer newStream =
            new EventStreamTestServer((connection, lastEventId, output) -> true)) {
      String config = configJson(MANY_SOCKETS, worker);
      String nextConfig =
          config.replace(
              ":" + eventStream.address().getPort(), ":" + newStream.address().getPort());
      Files.writeString(configFile, config);
      startProcess("");
      awaitServingPort();
      Files.writeString(configFile, nextConfig.substring(0, nextConfig.length() / 2));
      signal("HUP");
      await(() -> processLog().contains("keeping the current event stream"));
      Files.writeString(configFile, nextConfig);
      await(() -> newStream.hasClient());
    }
  }

  @Test
  void keepsEventStreamWhenNewHostNameDoesNotResolve() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      String config = configJson(MANY_SOCKETS, worker);
      Files.writeString(configFile, config);
      startProcess("");
      awaitServingPort();
      Files.writeString(
          configFile, config.replace("\"feed\":\"127.0.0.1:", "\"feed\":\"no-such-host.invalid:"));
      signal("HUP");
      await(() -> processLog().contains("SIGHUP"));
      assertThat(processLog())
          .contains("keeping the current event stream")
          .doesNotContain("following the event stream at no-such-host");
    }
  }

  @Test
  void tracesRequestByItsId() throws Exception {
    environmentVariables.put("SWITCHGAP_TRACE", "1");
    try (RespTestServer worker = RespTestServer.executingAll()) {
      startProcess(MANY_SOCKETS, worker);
      try (ThriftTestClient client = new ThriftTestClient(awaitServingPort())) {
        client.submit(1, TestSubmit.idempotent("00000000000000ab"));
        assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
      }
      signal("TERM");
      awaitCleanExit();
      assertThat(
              processLog()
                  .lines()
                  .filter(line -> line.contains("00000000000000ab"))
                  .map(line -> line.split(" ")[1]))
          .containsExactly("REQUEST_RECEIVED", "ATTEMPT_SENT", "ATTEMPT_ENDED", "REQUEST_ANSWERED");
      assertThat(processLog())
          .containsPattern("CLIENT_CLOSED PEER_CLOSED c\\d+")
          .contains("count REQUEST_ANSWERED SUCCEEDED 1");
    }
  }
}
