package org.cowslipmoor.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.cowslipmoor.core.fleet.StoreUpdateRelay.Frame;
import org.junit.jupiter.api.Test;

final class StoreUpdateRelayTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final StoreUpdateRelay relay = StoreUpdateRelay.create();

  private List<Frame> sent(long revision, long trackedSince, long now) {
    List<Frame> frames = relay.due(revision, trackedSince, now);
    frames.forEach(f -> relay.onSent(f, revision, now));
    return frames;
  }

  @Test
  void changesInFlightAreNotResent() {
    relay.onReport("h", 5, 70);
    assertThat(sent(9, 0, 0), is(List.of(new Frame("h", 5, 70))));
    assertThat(sent(11, 0, NANOS_PER_SECOND / 10), is(List.of(new Frame("h", 9, 70))));
  }

  @Test
  void changesThatDidNotArriveAreResent() {
    relay.onReport("h", 5, 70);
    sent(9, 0, 0);
    relay.onReport("h", 5, 71);
    assertThat(sent(9, 0, NANOS_PER_SECOND), is(List.of(new Frame("h", 5, 71))));
  }

  @Test
  void restartedHostIsSentTheChangesItLacks() {
    relay.onReport("h", 9, 70);
    sent(11, 0, 0);
    relay.onReport("h", 3, 5);
    assertThat(sent(11, 0, 1), is(List.of(new Frame("h", 3, 5))));
  }

  /**
   * A host may still list a target that left before the coordinator started. The coordinator has no
   * record of that deletion, so only the whole state corrects the host.
   */
  @Test
  void hostThatKeepsLackingEarlierChangesIsSentTheWholeState() {
    relay.onReport("h", 5, 70);
    assertThat(sent(9, 7, 0), is(empty()));
    assertThat(sent(9, 7, NANOS_PER_SECOND), is(empty()));
    assertThat(sent(9, 7, 2 * NANOS_PER_SECOND), is(List.of(new Frame("h", 0, 70))));
    assertThat(sent(9, 7, 2 * NANOS_PER_SECOND + 1), is(List.of(new Frame("h", 9, 70))));
  }
}
