package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The order of evictions while selector threads change what it depends on. */
class EvictionOrderTest {
  private static final int CONNECTIONS = 500;

  @Test
  void returnsSilentConnectionsFirstThenLeastRecentlyActive() {
    EvictionOrder<Integer> order =
        new EvictionOrder<>(connection -> connection >= 8, connection -> -connection);
    assertThat(order.first(4, List.of(1, 8, 3, 9, 2))).containsExactly(9, 8, 3, 2);
    assertThat(order.first(4, List.of(1))).containsExactly(1);
  }

  /**
   * Guards against a sort that fails because its keys change under it, which ends the router
   * (review case 1). Here each reading differs from the one before.
   */
  @Test
  void sortsConnectionsWhosePropertiesChangeWithEachReading() {
    List<Integer> connections = IntStream.range(0, CONNECTIONS).boxed().toList();
    Random random = new Random(1);
    EvictionOrder<Integer> order =
        new EvictionOrder<>(connection -> random.nextBoolean(), connection -> random.nextLong());
    for (int i = 0; i < 100; i++) {
      assertThat(order.first(CONNECTIONS, connections)).hasSameElementsAs(connections);
    }
  }
}
