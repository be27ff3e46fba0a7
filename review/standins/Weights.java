import java.util.ArrayList;
import java.util.List;

/** The operator splits a route with large weights. */
final class Weights implements Main.Case {
  private static final int TIMEOUT_MILLIS = 1_200;
  private static final String SPLIT =
      "\"split\":[{\"service\":\"stock\",\"weight\":%d},{\"service\":\"orders\",\"weight\":%d}]";

  @Override
  public boolean run(Main.Setup s) throws Exception {
    Record record = s.record();
    s.store().put("op/config", Main.CONFIGURATION.formatted(7));
    for (int i = 0; i < 4; i++) {
      String service = i % 2 == 0 ? "stock" : "orders";
      new Worker(s.ip(100 + i), "i-" + i, service, "a", 4, 40, 2_000, s.store(), record).register();
    }
    Clients clients = new Clients(record);
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Host h = new Host(s.folder(), "front-" + i, s.ip(10 + i), "a", s.store().address());
      h.start();
      hosts.add(h);
      clients.add(h);
    }
    Main.await("all hosts are ready", 20_000, () -> hosts.stream().allMatch(clients::isIn));
    clients.start(15, 150, "GET", "/lookup/", TIMEOUT_MILLIS + 2_000);
    Main.sleep(6_000);
    int one = s.trouble() ? 900_000_000 : 90;
    String changed =
        Main.CONFIGURATION
            .formatted(8)
            .replaceFirst("\"service\":\"stock\",\"timeout", SPLIT.formatted(one, one / 9) + ",\"timeout");
    s.store().put("op/config", changed);
    long from = record.now();
    record.event("the store has accepted a configuration with weights " + one + " and " + one / 9);
    Main.sleep(25_000);
    clients.stop();
    Main.sleep(4_000);
    int over = 0;
    int silent = 0;
    for (Record.Answer a : record.answers()) {
      if (a.sentAt() >= from && a.at() - a.sentAt() > TIMEOUT_MILLIS) {
        over++;
        silent += a.at() - a.sentAt() > TIMEOUT_MILLIS + 500 ? 1 : 0;
      }
    }
    record.event(
        over + " requests were unanswered at their route's timeout_ms, " + silent
            + " of them half a second later");
    return over == 0 || 2 * silent <= over;
  }
}
