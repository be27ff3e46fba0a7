package org.cowslipmoor.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.cowslipmoor.core.configuration.Priority;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
  private static AdmissionQueue.Entry<String> entry(String name, Priority p, long deadline) {
    return new AdmissionQueue.Entry<>(name, p, deadline);
  }

  @Test
  void urgentRequestsArePolledFirst() {
    AdmissionQueue<String> queue = AdmissionQueue.create(4);
    queue.offer(entry("download", Priority.BULK, 100), 0);
    queue.offer(entry("check", Priority.URGENT, 100), 0);
    assertThat(queue.poll(1).map(AdmissionQueue.Entry::request), is(Optional.of("check")));
    assertThat(queue.poll(2).map(AdmissionQueue.Entry::request), is(Optional.of("download")));
  }

  @Test
  void fullQueueDisplacesTheNewestRequestOfTheLowestPriority() {
    AdmissionQueue<String> queue = AdmissionQueue.create(2);
    queue.offer(entry("first", Priority.BULK, 100), 0);
    queue.offer(entry("second", Priority.BULK, 100), 0);
    assertThat(queue.offer(entry("third", Priority.BULK, 100), 0).accepted(), is(false));
    AdmissionQueue.Offer<String> urgent = queue.offer(entry("check", Priority.URGENT, 100), 0);
    assertThat(urgent.accepted(), is(true));
    assertThat(urgent.displaced(), is(Optional.of("second")));
  }

  @Test
  void requestsPastTheirDeadlineAreRejectedAndExpire() {
    AdmissionQueue<String> queue = AdmissionQueue.create(4);
    assertThat(queue.offer(entry("late", Priority.NORMAL, 5), 5).accepted(), is(false));
    queue.offer(entry("soon", Priority.NORMAL, 10), 5);
    queue.offer(entry("later", Priority.NORMAL, 20), 5);
    assertThat(queue.expire(10), contains("soon"));
    assertThat(queue.size(), is(1));
  }

  @Test
  void requestThatWouldWaitTooLongIsRejectedImmediately() {
    AdmissionQueue<String> queue = AdmissionQueue.create(100);
    for (int i = 0; i < 60; i++) {
      queue.offer(entry("r" + i, Priority.NORMAL, 1_000_000), 0);
    }
    for (int i = 1; i <= 30; i++) {
      queue.poll(i * 1_000L);
    }
    assertThat(queue.offer(entry("hasty", Priority.NORMAL, 30_100), 30_000).accepted(), is(false));
    assertThat(queue.offer(entry("urgent", Priority.URGENT, 30_100), 30_000).accepted(), is(true));
  }
}
