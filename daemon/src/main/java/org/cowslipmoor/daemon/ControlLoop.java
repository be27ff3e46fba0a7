package org.cowslipmoor.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Target;
import org.cowslipmoor.core.control.ControlAction;
import org.cowslipmoor.core.control.HostController;
import org.cowslipmoor.core.control.MemberMessage;
import org.cowslipmoor.core.control.RenewalResponse;
import org.cowslipmoor.core.control.StoreResponse;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.cowslipmoor.core.request.RoutingView;
import org.cowslipmoor.daemon.member.MemberLinks;
import org.cowslipmoor.daemon.platform.PlatformStore;
import org.cowslipmoor.daemon.target.TargetControlClient;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Passes the time, messages and responses to a {@link HostController} and performs the actions it
 * returns.
 *
 * <p>Lock order: this object's lock is taken before any other. Requests never take it, but read the
 * {@link #view()} that is published after each event.
 */
public final class ControlLoop implements MemberLinks.Receiver {
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long RATE_WINDOW_MILLIS = 1_000;

  private final HostController controller;
  private final String dataCentre;
  private final PlatformStore store;
  private final TargetControlClient targetControl;
  private final ShardActivity activity;
  private final ScheduledExecutorService workers;
  private final List<HostAndPort> peers;
  private final boolean approvesJoins;
  private @Nullable MemberLinks links;
  private volatile RoutingView view;
  private volatile Map<String, Target> targets = Map.of();
  private final Runnable onOwnersChanged;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private long targetsRevision;
  private long publishedVersion;
  private boolean wasCoordinator;

  /** Creates a loop that has not started. */
  public ControlLoop(
      HostController controller,
      DaemonSettings settings,
      PlatformStore store,
      TargetControlClient targetControl,
      ShardActivity activity,
      ScheduledExecutorService workers,
      Runnable onOwnersChanged) {
    this.onOwnersChanged = onOwnersChanged;
    this.controller = controller;
    this.dataCentre = settings.dataCentre();
    this.approvesJoins = settings.approveJoins();
    this.store = store;
    this.targetControl = targetControl;
    this.activity = activity;
    this.workers = workers;
    this.peers = settings.peers();
    this.view = new RoutingView(dataCentre, null, null, controller.authority());
  }

  /** Starts the loop; messages to other hosts are sent over the given links. */
  public void start(MemberLinks memberLinks) {
    synchronized (this) {
      links = memberLinks;
    }
    workers.scheduleWithFixedDelay(
        () -> logExceptions(() -> apply(c -> c.tick(System.nanoTime(), activity))),
        0,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    workers.scheduleWithFixedDelay(
        () -> logExceptions(() -> activity.closeWindow(System.nanoTime())),
        RATE_WINDOW_MILLIS,
        RATE_WINDOW_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the current routing state. */
  public RoutingView view() {
    return view;
  }

  /** Returns the address on which a member accepts links; empty if the member is unknown. */
  public Optional<InetSocketAddress> memberAddress(String id) {
    Configuration configuration = view.configuration();
    if (configuration == null) {
      return Optional.empty();
    }
    return Stream.concat(configuration.members().stream(), configuration.joining().stream())
        .filter(m -> m.id().equals(id))
        .findFirst()
        .map(m -> new InetSocketAddress(m.ip(), m.memberPort()));
  }

  @Override
  public void onMessage(String from, MemberMessage message) {
    workers.execute(
        () ->
            logExceptions(
                () -> apply(c -> c.onMessage(System.nanoTime(), from, message, activity))));
  }

  /** Applies a configuration that this host has just written to the store. */
  public void onConfiguration(Configuration configuration) {
    apply(c -> c.onConfiguration(System.nanoTime(), configuration));
  }

  /** Permanently gives up coordination, before a planned stop. */
  public void resign() {
    apply(HostController::resign);
  }

  /** Returns a future that completes when this host is first able to serve requests. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  /** Runs a query on the controller while holding this object's lock. */
  public synchronized <T> T read(Function<HostController, T> query) {
    return query.apply(controller);
  }

  private synchronized void apply(Function<HostController, ImmutableList<ControlAction>> event) {
    ImmutableList<ControlAction> actions = event.apply(controller);
    publish();
    actions.forEach(this::perform);
  }

  private void publish() {
    final long now = System.nanoTime();
    Configuration configuration = controller.configuration();
    OwnershipTable table = controller.table();
    view = new RoutingView(dataCentre, configuration, table, controller.authority());
    boolean changed = false;
    if (configuration != null && configuration.revision() != targetsRevision) {
      updateTargets(configuration);
      changed = true;
    }
    if (table != null && table.version() != publishedVersion) {
      publishedVersion = table.version();
      changed = true;
    }
    if (changed) {
      workers.execute(onOwnersChanged);
    }
    if (table != null && controller.authority().permits(table.version(), now)) {
      ready.complete(null);
    }
    logCoordinatorChange(now);
  }

  private void updateTargets(Configuration configuration) {
    targetsRevision = configuration.revision();
    targets =
        configuration.services().stream()
            .flatMap(s -> s.targets().stream())
            .collect(Collectors.toMap(Target::id, Function.identity()));
    if (approvesJoins) {
      configuration.joining().forEach(m -> controller.approve(m.id()));
    }
    Logger.info("configuration revision {} is in effect", configuration.revision());
  }

  private void logCoordinatorChange(long now) {
    boolean coordinator = controller.isCoordinator(now);
    if (coordinator != wasCoordinator) {
      wasCoordinator = coordinator;
      Logger.info(
          coordinator
              ? "this host is now the coordinator of {}"
              : "this host is no longer the coordinator of {}",
          dataCentre);
    }
  }

  private void perform(ControlAction action) {
    switch (action) {
      case ControlAction.Send a -> {
        if (links != null) {
          links.send(a.member(), a.message());
        }
      }
      case ControlAction.SendToPeers a -> {
        if (links != null) {
          links.sendTo(peers, a.message());
        }
      }
      case ControlAction.CallStore a ->
          store
              .call(a.request())
              .thenAcceptAsync(response -> handleStoreResponse(a.callId(), response), workers);
      case ControlAction.Renew a -> {
        Target target = targets.get(a.target());
        if (target == null) {
          handleRenewalResponse(a.target(), new RenewalResponse.Unreachable());
        } else {
          targetControl
              .renew(target, a.renewal())
              .thenAcceptAsync(response -> handleRenewalResponse(a.target(), response), workers);
        }
      }
    }
  }

  private void handleStoreResponse(long callId, StoreResponse response) {
    logExceptions(() -> apply(c -> c.onStoreResponse(System.nanoTime(), callId, response)));
  }

  private void handleRenewalResponse(String target, RenewalResponse response) {
    logExceptions(() -> apply(c -> c.onRenewalResponse(System.nanoTime(), target, response)));
  }

  private static void logExceptions(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a control event failed");
    }
  }
}
