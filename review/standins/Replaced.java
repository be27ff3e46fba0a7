import java.util.ArrayList;
import java.util.List;

/**
 * Two zones of two machines each. The machines of one zone, first that of the machine that last
 * wrote to the store under a condition, are lost for good and others come in their place; long
 * after that the same happens to the other zone.
 */
final class Replaced implements Main.Case {
  private static final long RECOVER_MILLIS = 15_000;
  private static final long CALM_MILLIS = 32_000;

  @Override
  public boolean run(Main.Setup s) throws Exception {
    Record record = s.record();
    s.store().put("op/config", Main.CONFIGURATION.formatted(7));
    for (int i = 0; i < 4; i++) {
      new Worker(s.ip(100 + i), "i-" + i, "stock", "a", 4, 30, 2_000, s.store(), record).register();
    }
    Clients clients = new Clients(record);
    List<Host> zoneA = start(s, clients, "a", 1);
    List<Host> zoneB = start(s, clients, "b", 3);
    Main.await(
        "all machines are ready",
        20_000,
        () -> zoneA.stream().allMatch(clients::isIn) && zoneB.stream().allMatch(clients::isIn));
    Main.await(
        "all machines are members",
        5_000,
        () -> s.store().read("cowslipmoor/members").matches(".*(front-\\d.*){4}"));
    clients.start(10, 200, "GET", "/lookup/", 1_200);
    Main.sleep(6_000);
    String leader = s.store().read("cowslipmoor/coordinator");
    boolean isInA = zoneA.stream().anyMatch(h -> leader.contains('"' + h.name + '"'));
    long firstLossAt = record.now();
    replace(s, clients, isInA ? zoneA : zoneB, 5);
    Main.sleep(CALM_MILLIS);
    long secondLossAt = record.now();
    replace(s, clients, isInA ? zoneB : zoneA, 7);
    long backAt = record.now();
    record.event("the machines are back");
    Main.sleep(RECOVER_MILLIS + 20_000);
    clients.stop();
    double servedBefore = share(record, 0, secondLossAt);
    double servedAfter = share(record, backAt + RECOVER_MILLIS, record.now());
    record.event("served before the first loss: %.2f".formatted(share(record, 0, firstLossAt)));
    record.event("served before the second loss: %.2f".formatted(servedBefore));
    record.event(
        "served later than recover_s after the machines are back: %.2f".formatted(servedAfter));
    return !(servedBefore >= 0.25 && servedAfter < 0.25);
  }

  private static List<Host> start(Main.Setup s, Clients clients, String zone, int firstNumber)
      throws Exception {
    List<Host> hosts = new ArrayList<>();
    for (int n = firstNumber; n < firstNumber + 2; n++) {
      Host h = new Host(s.folder(), "front-" + n, s.ip(10 + n), zone, s.store().address());
      h.start();
      clients.add(h);
      hosts.add(h);
    }
    return hosts;
  }

  private static void replace(Main.Setup s, Clients clients, List<Host> gone, int firstNumber)
      throws Exception {
    String zone = gone.get(0).zone;
    if (!s.trouble()) {
      return;
    }
    s.record().event("the machines of zone " + zone + " are lost for good");
    for (Host h : gone) {
      h.kill();
      clients.remove(h);
    }
    Main.sleep(1_000);
    start(s, clients, zone, firstNumber);
    s.record().event("others come in their place, at other addresses");
  }

  private static double share(Record record, long from, long to) {
    int sent = 0;
    int served = 0;
    for (Record.Answer a : record.answers()) {
      if (a.sentAt() >= from && a.sentAt() < to) {
        sent++;
        served += a.status() == 200 ? 1 : 0;
      }
    }
    return sent == 0 ? 0 : (double) served / sent;
  }
}
