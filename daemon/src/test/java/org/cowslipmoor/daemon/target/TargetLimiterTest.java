package org.cowslipmoor.daemon.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.cowslipmoor.core.configuration.Priority;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.daemon.target.TargetLimiter.Completion;
import org.junit.jupiter.api.Test;

final class TargetLimiterTest {
  private static final String QUEUE = "service/sheets";
  private static final long DEADLINE = 1_000_000;
  private static final Target FIRST = target("sheets-1");
  private static final Target SECOND = target("sheets-2");

  private final TargetLimiter limiter = new TargetLimiter();
  private final List<String> events = new ArrayList<>();
  private final List<Target> assigned = new ArrayList<>();

  private static Target target(String id) {
    return new Target(id, "cairo", "127.0.0.1", 7501, 1, 230, false);
  }

  private void submit(String name, Priority priority, Target... targets) {
    limiter.submit(
        new TargetLimiter.PendingRequest(
            QUEUE,
            List.of(targets),
            priority,
            DEADLINE,
            target -> {
              assigned.add(target);
              events.add(name + " at " + target.id());
            },
            () -> events.add(name + " is rerouted"),
            () -> events.add(name + " rejected")),
        0);
  }

  /** Takes the two permits of a target's initial limit. */
  private void fill(Target target) {
    submit("a", Priority.NORMAL, target);
    submit("b", Priority.NORMAL, target);
    events.clear();
  }

  @Test
  void requestsAreAssignedRoundRobin() {
    for (String name : List.of("a", "b", "c", "d")) {
      submit(name, Priority.NORMAL, FIRST, SECOND);
    }
    assertThat(
        events, contains("a at sheets-1", "b at sheets-2", "c at sheets-1", "d at sheets-2"));
  }

  @Test
  void requestsBeyondTheLimitAreQueuedByPriority() {
    fill(FIRST);
    submit("late", Priority.BULK, FIRST);
    submit("urgent", Priority.URGENT, FIRST);
    assertThat(events, is(empty()));
    limiter.release(QUEUE, FIRST, Completion.OTHER, 1);
    limiter.release(QUEUE, FIRST, Completion.OTHER, 2);
    assertThat(events, contains("urgent at sheets-1", "late at sheets-1"));
  }

  @Test
  void releasedPermitsCanBeAcquiredByNewRequests() {
    fill(FIRST);
    limiter.release(QUEUE, FIRST, Completion.OTHER, 1);
    submit("next", Priority.NORMAL, FIRST);
    assertThat(events, contains("next at sheets-1"));
  }

  @Test
  void sheddingTargetGetsFewerRequests() {
    fill(FIRST);
    limiter.release(QUEUE, FIRST, Completion.SHED, 1);
    submit("next", Priority.NORMAL, FIRST);
    assertThat(events, is(empty()));
  }

  @Test
  void targetThatFailsFastIsEjected() {
    Target third = target("sheets-3");
    for (int i = 0; i < 9; i++) {
      submit("early", Priority.NORMAL, FIRST, SECOND, third);
      Target chosen = assigned.getLast();
      limiter.release(
          QUEUE, chosen, chosen.equals(FIRST) ? Completion.FAILED : Completion.RESPONDED, 1);
    }
    events.clear();
    submit("a", Priority.NORMAL, FIRST, SECOND, third);
    submit("b", Priority.NORMAL, FIRST, SECOND, third);
    submit("c", Priority.NORMAL, FIRST, SECOND, third);
    assertThat(events, contains("a at sheets-2", "b at sheets-3", "c at sheets-2"));
  }

  @Test
  void queuedRequestsAreReroutedWhenOwnersChange() {
    fill(FIRST);
    submit("waiting", Priority.NORMAL, FIRST);
    limiter.onOwnersChanged();
    assertThat(events, contains("waiting is rerouted"));
    limiter.release(QUEUE, FIRST, Completion.OTHER, 1);
    assertThat(events, contains("waiting is rerouted"));
  }

  @Test
  void queuedRequestsAreRejectedAtTheirDeadline() {
    fill(FIRST);
    submit("waiting", Priority.NORMAL, FIRST);
    limiter.expire(DEADLINE - 1);
    assertThat(events, is(empty()));
    limiter.expire(DEADLINE);
    assertThat(events, contains("waiting rejected"));
  }
}
