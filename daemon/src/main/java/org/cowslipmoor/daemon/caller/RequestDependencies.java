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
 * The components and limits that all requests of a host share.
 *
 * @param views returns the current routing state
 * @param requests sends requests to targets and to other hosts
 * @param limiter limits the requests in progress at each target
 * @param hosts chooses the hosts to which requests are forwarded
 * @param drain rejects new requests while the host is stopping
 * @param activity counts the requests in progress for each shard
 * @param retries limits the retries
 * @param waiting limits the requests that wait until their shard has an owner
 * @param timer schedules retries and the checks of waiting requests
 * @param metrics counts requests, responses, retries and rejections
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
