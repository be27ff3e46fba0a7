package org.cowslipmoor.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import org.cowslipmoor.core.request.RetryBudget;
import org.cowslipmoor.core.request.RoutingView;
import org.cowslipmoor.daemon.ShardActivity;
import org.cowslipmoor.daemon.target.RequestSender;
import org.cowslipmoor.daemon.target.TargetLimiter;

/**
 * Holds what all requests of a host share.
 *
 * @param views returns what the host routes by at present
 * @param requests sends to targets and to other hosts
 * @param limiter limits the requests in progress at each target
 * @param hosts chooses the hosts that requests are forwarded to
 * @param drain refuses new requests while the host is being stopped
 * @param activity counts the requests in progress for each shard
 * @param retries bounds retries
 * @param waiting bounds the requests that wait for a shard's owner to be settled
 * @param timer wakes requests that wait
 * @param metrics counts outcomes
 */
public record RequestDependencies(
    Supplier<RoutingView> views,
    RequestSender requests,
    TargetLimiter limiter,
    HostSelector hosts,
    CallerDrain drain,
    ShardActivity activity,
    RetryBudget retries,
    Semaphore waiting,
    ScheduledExecutorService timer,
    MetricRegistry metrics) {

  RoutingView view() {
    return views.get();
  }
}
