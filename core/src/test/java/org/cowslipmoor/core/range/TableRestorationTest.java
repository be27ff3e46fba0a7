package org.cowslipmoor.core.range;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.cowslipmoor.core.discovery.TargetIncarnation;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.MemberList;
import org.cowslipmoor.core.fleet.StorePlace;
import org.cowslipmoor.core.range.TableRestoration.Records;
import org.cowslipmoor.core.range.TableRestoration.Step;
import org.junit.jupiter.api.Test;

final class TableRestorationTest {
  private static final MemberList MEMBERS = MemberList.of(ImmutableSet.of("a", "b", "c"));

  private final TableRestoration restoration =
      TableRestoration.begin("a", records(5, 50, "a", "b", "c"), records(3, 30, "a", "b"), 0);

  private static Records records(long version, long lastFence, String... members) {
    RangeEntry entry =
        new RangeEntry(
            "stock", KeyRange.ALL, new TargetIncarnation("t" + version, 1), "t:1", lastFence, null);
    return new Records(
        RangeTable.of(version, lastFence, List.of(entry)),
        MemberList.of(ImmutableSet.copyOf(members)));
  }

  private static HostReport.StoreKnowledge report(long version, long lastFence) {
    return new HostReport.StoreKnowledge(new StorePlace(1, 9), version, lastFence);
  }

  private Records written(long now) {
    List<Step> steps = restoration.tick(now);
    assertThat(steps.get(steps.size() - 1), is(instanceOf(Step.Write.class)));
    return ((Step.Write) steps.get(steps.size() - 1)).records();
  }

  /** Guards against a table that is older than the one that hosts still know. */
  @Test
  void newestTableIsAskedOfItsHolder() {
    restoration.onReport("b", report(7, 70));
    restoration.onReport("c", report(6, 90));
    assertThat(restoration.tick(1), is(List.of(new Step.Ask("b"))));
    restoration.onAnswer("b", records(7, 70, "a", "b", "c"));

    Records restored = written(2);

    assertThat(restored.table().find("stock", 0).orElseThrow().owner().id(), is("t7"));
    assertThat(restored.table().version(), is(7 + TableRestoration.INCREMENT));
    assertThat(restored.table().lastFence(), is(90 + TableRestoration.INCREMENT));
    assertThat(restored.members(), is(MEMBERS));
  }

  @Test
  void majorityIsAwaitedForTwoSeconds() {
    assertThat(restoration.tick(TableRestoration.MAX_COLLECTION_NANOS - 1), is(empty()));
    assertThat(written(TableRestoration.MAX_COLLECTION_NANOS).table().version(), is(1_000_005L));
  }

  @Test
  void nextNewestTableIsTakenFromHostThatAnswers() {
    restoration.onReport("b", report(7, 70));
    restoration.onReport("c", report(6, 60));
    assertThat(restoration.tick(0), is(List.of(new Step.Ask("b"))));
    assertThat(restoration.tick(TableRestoration.ANSWER_TIMEOUT_NANOS - 1), is(empty()));
    assertThat(
        restoration.tick(TableRestoration.ANSWER_TIMEOUT_NANOS), is(List.of(new Step.Ask("c"))));
    restoration.onAnswer("c", records(6, 60, "a", "b", "c"));

    Records restored = written(TableRestoration.ANSWER_TIMEOUT_NANOS + 1);

    assertThat(restored.table().find("stock", 0).orElseThrow().owner().id(), is("t6"));
    assertThat(restored.table().version(), is(7 + TableRestoration.INCREMENT));
    assertThat(restored.table().lastFence(), is(70 + TableRestoration.INCREMENT));
  }

  /** Guards against a member that has to be approved again since few hosts know that it joined. */
  @Test
  void reportingHostThatKnowsItselfAsMemberStaysMember() {
    restoration.onReport("b", report(5, 50));
    restoration.onReport("d", report(5, 50));
    assertThat(restoration.tick(1), is(List.of(new Step.Ask("d"))));
    restoration.onAnswer("d", records(5, 50, "a", "b", "c", "d"));
    assertThat(written(2).members().members(), is(ImmutableSet.of("a", "b", "c", "d")));
  }

  @Test
  void reportingHostThatIsNoMemberBecomesNone() {
    restoration.onReport("b", report(5, 50));
    restoration.onReport("d", report(5, 50));
    restoration.tick(1);
    restoration.onAnswer("d", records(5, 50, "a", "lost"));
    assertThat(written(2).members(), is(MEMBERS));
  }

  @Test
  void refusedWriteIsRepeatedFromWhatTheStoreHas() {
    restoration.onReport("b", report(5, 50));
    assertThat(written(1).table().lastFence(), is(50 + TableRestoration.INCREMENT));
    assertThat(restoration.tick(2), is(empty()));
    restoration.onStored(records(9, 99, "a"));
    assertThat(written(3).table().lastFence(), is(99 + TableRestoration.INCREMENT));
  }
}
