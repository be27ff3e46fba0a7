package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipmoor.core.fleet.HostReport;
import org.cowslipmoor.core.fleet.MemberList;

/**
 * Restores the range table, the members and the last fence from what the hosts know, after the
 * store came back from an older copy. A pure state machine of the first coordinator of the new era:
 * it does no I/O and reads no clock. Times are nanoseconds. Not thread-safe.
 *
 * <p>It hears the hosts' reports, asks the host that knows the newest table for it, and asks
 * reporting hosts that it doesn't know as members whether they are. The restored table has a higher
 * version, and fences begin higher, than any that a lost table may have had.
 */
public final class TableRestoration {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Maximum time to wait for the reports of a majority of the members. */
  static final long MAX_COLLECTION_NANOS = 2 * NANOS_PER_SECOND;

  /** Time after which a host that does not answer is given up. */
  static final long ANSWER_TIMEOUT_NANOS = NANOS_PER_SECOND;

  /**
   * Increment of the last fence and of the table's version. A lost table may have had higher ones
   * than any host knows, by a few for each decision of the last moments of the former era.
   */
  public static final long INCREMENT = 1_000_000;

  private final String self;
  private final Records own;
  private final long beganAt;
  private final Map<String, HostReport.StoreKnowledge> reports = new TreeMap<>();
  private final Map<String, Records> answers = new HashMap<>();
  private final Map<String, Long> askedAt = new HashMap<>();
  private final Set<String> possibleMembers = new HashSet<>();
  private Records stored;
  private boolean isCollected;
  private boolean isWriting;

  /**
   * What a host or the store has of the restored records.
   *
   * @param table the range table; empty if there is none
   * @param members the members; empty if there are none
   */
  public record Records(RangeTable table, MemberList members) {
    /** The records of a host that knows none. */
    public static final Records NONE = new Records(RangeTable.empty(), MemberList.empty());

    /** Returns whether there are no records. */
    public boolean isEmpty() {
      return table.version() == 0 && members.members().isEmpty();
    }
  }

  /** A step of the restoration. */
  public sealed interface Step {
    /** Asks a host for its records. */
    record Ask(String host) implements Step {}

    /**
     * Writes the restored records on condition that the store's are still those that were read.
     *
     * @param sources the hosts that the newest table and further members are from
     * @param heard number of hosts whose reports were heard
     */
    record Write(Records records, ImmutableSet<String> sources, int heard) implements Step {}
  }

  private TableRestoration(String self, Records own, Records stored, long now) {
    this.self = self;
    this.own = own;
    this.stored = stored;
    this.beganAt = now;
  }

  /**
   * Begins a restoration.
   *
   * @param self id of this host
   * @param own what this host knows from the former era
   * @param stored what the store has
   */
  public static TableRestoration begin(String self, Records own, Records stored, long now) {
    return new TableRestoration(self, own, stored, now);
  }

  /** Returns when the restoration began. */
  public long beganAt() {
    return beganAt;
  }

  /** Handles a host's report. */
  public void onReport(String host, HostReport.StoreKnowledge knowledge) {
    if (!host.equals(self)) {
      reports.put(host, knowledge);
    }
  }

  /** Handles the records of a host that was asked. */
  public void onAnswer(String host, Records records) {
    if (askedAt.containsKey(host)) {
      answers.put(host, records);
    }
  }

  /** Begins the write again, since the store has other records than those that were read. */
  public void onStored(Records newStored) {
    stored = newStored;
    isWriting = false;
  }

  /** Returns the steps that are due. */
  public ImmutableList<Step> tick(long now) {
    if (isWriting || !isCollected(now)) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<Step> steps = ImmutableList.builder();
    Set<String> asked = new HashSet<>(possibleMembers);
    newestHolder(now).ifPresent(asked::add);
    boolean isWaiting = false;
    for (String host : asked) {
      if (askedAt.putIfAbsent(host, now) == null) {
        steps.add(new Step.Ask(host));
      }
      isWaiting |= !answers.containsKey(host) && !hasTimedOut(host, now);
    }
    if (!isWaiting) {
      isWriting = true;
      steps.add(new Step.Write(restored(), sources(), reports.size()));
    }
    return steps.build();
  }

  private boolean isCollected(long now) {
    if (!isCollected && (isMajorityHeard() || now - beganAt >= MAX_COLLECTION_NANOS)) {
      isCollected = true;
      Set<String> known = Sets.union(own.members().members(), stored.members().members());
      possibleMembers.addAll(Sets.difference(reports.keySet(), known));
    }
    return isCollected;
  }

  private boolean isMajorityHeard() {
    ImmutableSet<String> members = own.members().members();
    long heard = members.stream().filter(m -> m.equals(self) || reports.containsKey(m)).count();
    return 2 * heard > members.size();
  }

  /** Returns the host that reports the newest table that is newer than those at hand, if any. */
  private Optional<String> newestHolder(long now) {
    long newest = newestTable().version();
    return reports.entrySet().stream()
        .filter(e -> e.getValue().tableVersion() > newest)
        .filter(e -> !answers.containsKey(e.getKey()) && !hasTimedOut(e.getKey(), now))
        .max(Map.Entry.comparingByValue(this::compareVersions))
        .map(Map.Entry::getKey);
  }

  private int compareVersions(HostReport.StoreKnowledge a, HostReport.StoreKnowledge b) {
    return Long.compare(a.tableVersion(), b.tableVersion());
  }

  private boolean hasTimedOut(String host, long now) {
    Long at = askedAt.get(host);
    return at != null && now - at >= ANSWER_TIMEOUT_NANOS;
  }

  private RangeTable newestTable() {
    RangeTable newest = newer(own.table(), stored.table());
    for (Records answer : answers.values()) {
      newest = newer(newest, answer.table());
    }
    return newest;
  }

  private static RangeTable newer(RangeTable a, RangeTable b) {
    return a.version() >= b.version() ? a : b;
  }

  private Records restored() {
    RangeTable newest = newestTable();
    long version = newest.version();
    long fence = Math.max(own.table().lastFence(), stored.table().lastFence());
    fence = Math.max(fence, newest.lastFence());
    for (HostReport.StoreKnowledge k : reports.values()) {
      version = Math.max(version, k.tableVersion());
      fence = Math.max(fence, k.lastFence());
    }
    Set<String> members = new HashSet<>(own.members().members());
    members.addAll(stored.members().members());
    answers.forEach(
        (host, answer) -> {
          // A host that is no member may know an outdated list of members.
          if (answer.members().members().contains(host)) {
            members.addAll(answer.members().members());
          }
        });
    return new Records(
        RangeTable.of(version + INCREMENT, fence + INCREMENT, newest.entries()),
        MemberList.of(members));
  }

  private ImmutableSet<String> sources() {
    ImmutableSet<String> sources = ImmutableSet.copyOf(answers.keySet());
    return sources.isEmpty() ? ImmutableSet.of(self) : sources;
  }
}
