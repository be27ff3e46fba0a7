package org.cowslipmoor.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
  private final MemoryBudget budget = MemoryBudget.create(100);

  @Test
  void bytesBeyondTheBudgetAreNotReserved() {
    assertThat(budget.tryReserve(60), is(true));
    assertThat(budget.tryReserve(41), is(false));
    assertThat(budget.tryReserve(40), is(true));
    assertThat(budget.tryReserve(1), is(false));
  }

  @Test
  void releasedBytesAreAvailableAgain() {
    budget.tryReserve(100);
    budget.release(30);

    assertThat(budget.tryReserve(30), is(true));
    assertThat(budget.reservedBytes(), is(100L));
  }

  @Test
  void moreThanWasReservedIsNotReleased() {
    assertThrows(IllegalStateException.class, () -> budget.release(1));
  }
}
