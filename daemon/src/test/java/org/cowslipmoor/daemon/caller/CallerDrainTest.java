package org.cowslipmoor.daemon.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class CallerDrainTest {
  private final CallerDrain drain = new CallerDrain();

  @Test
  void leavingHostTakesCallersRequestsButNoForwardedOnes() {
    assertThat(drain.tryBegin(true), is(true));
    drain.rejectForwarded();
    assertThat(drain.tryBegin(true), is(false));
    assertThat(drain.tryBegin(false), is(true));
  }

  @Test
  void refusingHostIsIdleOnceEveryRequestHasEnded() {
    drain.tryBegin(false);
    drain.tryBegin(true);
    drain.rejectForwarded();
    CompletableFuture<Void> idle = drain.rejectAll();
    assertThat(drain.tryBegin(false), is(false));
    drain.end();
    assertThat(idle.isDone(), is(false));
    drain.end();
    assertThat(idle.isDone(), is(true));
  }

  @Test
  void refusingHostWithoutRequestsIsIdleAtOnce() {
    assertThat(drain.rejectAll().isDone(), is(true));
  }
}
