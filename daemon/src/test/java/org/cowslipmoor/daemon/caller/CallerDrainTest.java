package org.cowslipmoor.daemon.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class CallerDrainTest {
  private final CallerDrain drain = new CallerDrain();

  @Test
  void forwardedRequestsAreRejectedBeforeCallersRequests() {
    assertThat(drain.tryBegin(true), is(true));
    drain.rejectForwarded();
    assertThat(drain.tryBegin(true), is(false));
    assertThat(drain.tryBegin(false), is(true));
  }

  @Test
  void drainIsIdleWhenAllRequestsHaveEnded() {
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
  void drainWithoutRequestsIsIdleAtOnce() {
    assertThat(drain.rejectAll().isDone(), is(true));
  }
}
