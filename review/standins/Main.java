import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Runs one case: {@code Main CASE RECORD}. Exits with 1 if the rule was broken, 0 if it held, and 2
 * if the case couldn't run. With the variable TROUBLE set to 0 the disruption is left out.
 */
final class Main {
  static final String CONFIGURATION =
      """
      {"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
       "header_timeout_ms":3000,"idle_timeout_ms":15000},
       "listeners":[{"host":"shop.example","policy":[
        {"name":"lookup","kind":"safe","slo_ms":500,"priority":2,"match":{"prefix":"/lookup/"},
         "action":{"service":"stock","timeout_ms":1200,"attempts":2}},
        {"name":"order","kind":"unsafe","slo_ms":600,"priority":1,"match":{"prefix":"/order/"},
         "action":{"service":"orders","timeout_ms":1500,"attempts":2}}]}],
       "upstreams":[{"name":"stock","health_path":"/health","max_conns":232,"protocol":"h1","tls":false},
        {"name":"orders","health_path":"/health","max_conns":232,"protocol":"h1","tls":false}]}
      """;

  /** A case; returns whether the rule held. */
  interface Case {
    boolean run(Setup setup) throws Exception;
  }

  /** What each case has: a folder, addresses of its own, a store and a record. */
  record Setup(Path folder, String network, boolean trouble, Store store, Record record) {
    String ip(int number) {
      return network + "." + number;
    }
  }

  private Main() {}

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static ThreadFactory daemon() {
    return work -> {
      Thread t = new Thread(work);
      t.setDaemon(true);
      return t;
    };
  }

  /** Waits until a condition holds; throws if it doesn't in time. */
  static void await(String what, long millis, BooleanSupplier condition) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not in time: " + what);
      }
      sleep(20);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path f : files.toList()) {
        Files.delete(f);
      }
    }
    Files.delete(folder);
  }

  public static void main(String[] args) throws IOException {
    int code = 2;
    Path folder = Files.createTempDirectory("case");
    try {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      String network = "127.%d.%d".formatted(random.nextInt(10, 250), random.nextInt(1, 250));
      Record record = new Record(Path.of(args[1]));
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      Store store = new Store(network + ".1");
      Setup setup = new Setup(folder, network, trouble, store, record);
      Case chosen =
          switch (args[0]) {
            case "replaced" -> new Replaced();
            case "weights" -> new Weights();
            case "early" -> new EarlyAnswers();
            case "cut" -> new CutAnswers();
            default -> throw new IllegalArgumentException("unknown case " + args[0]);
          };
      code = chosen.run(setup) ? 0 : 1;
      record.event(code == 0 ? "the rule held" : "the rule was broken");
    } catch (Exception e) {
      e.printStackTrace();
    }
    Host.killAll();
    if (System.getenv("KEEP") != null) {
      System.out.println("the logs are in " + folder);
    } else {
      delete(folder);
    }
    Runtime.getRuntime().exit(code);
  }
}
