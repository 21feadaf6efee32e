package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.testing.ReachableObjects;

/** Tests the limits of the deferred results: entries, cached bytes, waiters per entry. */
class DeferredResultsTest {
  private static final int MAX_WAITERS = 8;

  private static DeferredResults resultsWithEntries(int maxEntries) {
    return new DeferredResults("p", Duration.ofMinutes(5), maxEntries, 1000);
  }

  private static Response responseOf(int bytes) {
    return Response.succeeded(200, Map.of(), new byte[bytes]);
  }

  private static DeferredResults.Status status(
      DeferredResults results, DeferredResults.Entry entry) {
    return results.status(results.id(entry));
  }

  @Test
  void evictsTheOldestResultButNoPendingRequestWhenEntriesAreFull() {
    DeferredResults results = resultsWithEntries(3);
    DeferredResults.Entry endedLast = results.reserve();
    DeferredResults.Entry endedFirst = results.reserve();
    DeferredResults.Entry pending = results.reserve();
    assertThat(results.reserve()).as("entry reserved while all entries are pending").isNull();
    endedFirst.responded(null, responseOf(10));
    endedLast.responded(null, responseOf(10));

    assertThat(results.reserve()).isNotNull();

    assertThat(status(results, endedFirst)).isEqualTo(DeferredResults.Status.GONE);
    assertThat(status(results, endedLast)).isEqualTo(DeferredResults.Status.ENDED);
    assertThat(status(results, pending)).isEqualTo(DeferredResults.Status.PENDING);
    assertThat(results.size()).isEqualTo(3);
  }

  @Test
  void limitsTheCachedBytesAndRemovesAllResultsAfterTheRetention() {
    DeferredResults results = resultsWithEntries(100);
    List<DeferredResults.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      DeferredResults.Entry entry = results.reserve();
      entries.add(entry);
      entry.responded(null, responseOf(300));
    }
    assertThat(entries)
        .filteredOn(entry -> status(results, entry) == DeferredResults.Status.ENDED)
        .hasSize(3);

    results.tick(Duration.ofMinutes(6));

    assertThat(results.size()).isZero();
    assertThat(ReachableObjects.field(results, "cachedBytes")).isEqualTo(0L);
  }

  @Test
  void acceptsAndNotifiesNoMoreWaitersThanTheLimit() {
    DeferredResults results = resultsWithEntries(3);
    DeferredResults.Entry entry = results.reserve();
    List<DeferredResults.Entry> notified = new ArrayList<>();
    for (int i = 0; i < MAX_WAITERS; i++) {
      assertThat(results.await(entry, notified::add)).isTrue();
    }
    assertThat(results.await(entry, notified::add)).isFalse();

    entry.responded(null, responseOf(1));

    assertThat(notified).hasSize(MAX_WAITERS);
  }
}
