package org.cowslipmoor.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.cowslipmoor.core.configuration.Priority;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
  private static AdmissionQueue.Entry<String> waiting(String name, Priority p, long deadline) {
    return new AdmissionQueue.Entry<>(name, p, deadline);
  }

  @Test
  void urgentRequestsGoFirst() {
    AdmissionQueue<String> queue = AdmissionQueue.create(4);
    queue.offer(waiting("download", Priority.BULK, 100), 0);
    queue.offer(waiting("check", Priority.URGENT, 100), 0);
    assertThat(queue.poll(1).map(AdmissionQueue.Entry::request), is(Optional.of("check")));
    assertThat(queue.poll(2).map(AdmissionQueue.Entry::request), is(Optional.of("download")));
  }

  @Test
  void fullQueueDisplacesTheNewestOfTheLeastUrgent() {
    AdmissionQueue<String> queue = AdmissionQueue.create(2);
    queue.offer(waiting("first", Priority.BULK, 100), 0);
    queue.offer(waiting("second", Priority.BULK, 100), 0);
    assertThat(queue.offer(waiting("third", Priority.BULK, 100), 0).accepted(), is(false));
    AdmissionQueue.Offer<String> urgent = queue.offer(waiting("check", Priority.URGENT, 100), 0);
    assertThat(urgent.accepted(), is(true));
    assertThat(urgent.displaced(), is(Optional.of("second")));
  }

  @Test
  void passedDeadlinesAreRefusedAndExpire() {
    AdmissionQueue<String> queue = AdmissionQueue.create(4);
    assertThat(queue.offer(waiting("late", Priority.NORMAL, 5), 5).accepted(), is(false));
    queue.offer(waiting("soon", Priority.NORMAL, 10), 5);
    queue.offer(waiting("later", Priority.NORMAL, 20), 5);
    assertThat(queue.expire(10), contains("soon"));
    assertThat(queue.size(), is(1));
  }

  @Test
  void requestThatWouldWaitTooLongIsRefusedAtOnce() {
    AdmissionQueue<String> queue = AdmissionQueue.create(100);
    for (int i = 0; i < 60; i++) {
      queue.offer(waiting("r" + i, Priority.NORMAL, 1_000_000), 0);
    }
    for (int i = 1; i <= 30; i++) {
      queue.poll(i * 1_000L);
    }
    assertThat(
        queue.offer(waiting("hasty", Priority.NORMAL, 30_100), 30_000).accepted(), is(false));
    assertThat(
        queue.offer(waiting("urgent", Priority.URGENT, 30_100), 30_000).accepted(), is(true));
  }
}
