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
    StorePlace place = new StorePlace(0, revision);
    List<Frame> frames = relay.due(place, new StorePlace(0, trackedSince), now);
    frames.forEach(f -> relay.onSent(f, place, now));
    return frames;
  }

  @Test
  void changesInFlightAreNotResent() {
    relay.onReport("h", new StorePlace(0, 5), 70);
    assertThat(sent(9, 0, 0), is(List.of(new Frame("h", new StorePlace(0, 5), 70))));
    assertThat(
        sent(11, 0, NANOS_PER_SECOND / 10), is(List.of(new Frame("h", new StorePlace(0, 9), 70))));
  }

  @Test
  void changesThatDidNotArriveAreResent() {
    relay.onReport("h", new StorePlace(0, 5), 70);
    sent(9, 0, 0);
    relay.onReport("h", new StorePlace(0, 5), 71);
    assertThat(sent(9, 0, NANOS_PER_SECOND), is(List.of(new Frame("h", new StorePlace(0, 5), 71))));
  }

  @Test
  void restartedHostIsSentTheChangesItLacks() {
    relay.onReport("h", new StorePlace(0, 9), 70);
    sent(11, 0, 0);
    relay.onReport("h", new StorePlace(0, 3), 5);
    assertThat(sent(11, 0, 1), is(List.of(new Frame("h", new StorePlace(0, 3), 5))));
  }

  /**
   * A host may still list a target that left before the coordinator started. The coordinator has no
   * record of that deletion, so only the whole state corrects the host.
   */
  @Test
  void hostThatKeepsLackingEarlierChangesIsSentTheWholeState() {
    relay.onReport("h", new StorePlace(0, 5), 70);
    assertThat(sent(9, 7, 0), is(empty()));
    assertThat(sent(9, 7, NANOS_PER_SECOND), is(empty()));
    assertThat(
        sent(9, 7, 2 * NANOS_PER_SECOND), is(List.of(new Frame("h", new StorePlace(0, 0), 70))));
    assertThat(
        sent(9, 7, 2 * NANOS_PER_SECOND + 1),
        is(List.of(new Frame("h", new StorePlace(0, 9), 70))));
  }

  /** Guards against changes after a revision that the restored store has given out again. */
  @Test
  void hostThatLacksTheNewEraIsSentTheWholeState() {
    StorePlace place = new StorePlace(2, 120);
    StorePlace trackedSince = new StorePlace(2, 90);
    relay.onReport("h", new StorePlace(1, 110), 70);
    assertThat(relay.due(place, trackedSince, 0), is(empty()));
    assertThat(
        relay.due(place, trackedSince, 2 * NANOS_PER_SECOND),
        is(List.of(new Frame("h", StorePlace.START, 70))));
  }

  @Test
  void hostOfNewerEraIsSentNothing() {
    relay.onReport("h", new StorePlace(2, 90), 70);
    assertThat(relay.due(new StorePlace(1, 110), StorePlace.START, 0), is(empty()));
  }
}
