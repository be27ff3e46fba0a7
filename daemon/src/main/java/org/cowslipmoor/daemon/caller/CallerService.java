package org.cowslipmoor.daemon.caller;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.configuration.Service;
import org.cowslipmoor.core.request.ResultCode;

/** Serves callers' requests. */
public final class CallerService implements HttpService {
  /** Maximum size of a body that is held in memory so that the request can be retried. */
  private static final int MAX_REPLAYABLE_BYTES = 64 << 10;

  private final RequestDependencies dependencies;

  /** Creates a service whose requests use the given dependencies. */
  public CallerService(RequestDependencies dependencies) {
    this.dependencies = dependencies;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    CallerRequest request;
    try {
      request = CallerRequest.parse(req.headers());
    } catch (IllegalArgumentException e) {
      return Rejections.of(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage()));
    }
    Configuration configuration = dependencies.view().configuration();
    if (configuration == null) {
      return Rejections.of(ResultCode.NO_CONFIGURATION, "the host has no configuration yet");
    }
    Optional<Service> service = configuration.service(request.service());
    if (service.isEmpty()) {
      return Rejections.of(
          ResultCode.UNKNOWN_SERVICE, "there is no service '" + request.service() + "'");
    }
    if (!dependencies.drain().tryBegin(request.forwarded())) {
      return Rejections.of(ResultCode.STOPPING, "the host is stopping");
    }
    HttpResponse response = execute(ctx, req, request, service.get());
    response.whenComplete().handle((unused, error) -> endRequest());
    return response;
  }

  private boolean endRequest() {
    dependencies.drain().end();
    return true;
  }

  private HttpResponse execute(
      ServiceRequestContext ctx, HttpRequest req, CallerRequest request, Service service) {
    ctx.clearRequestTimeout();
    long deadline = System.nanoTime() + request.deadline(service).toNanos();
    if (!isReplayable(req)) {
      return HttpResponse.of(
          new RequestExecution(
                  dependencies, ctx, request, service, deadline, new Body.Streamed(req))
              .run());
    }
    return HttpResponse.of(
        req.aggregate()
            .thenCompose(
                whole ->
                    new RequestExecution(
                            dependencies,
                            ctx,
                            request,
                            service,
                            deadline,
                            new Body.Replayable(whole))
                        .run()));
  }

  private static boolean isReplayable(HttpRequest req) {
    long length = req.headers().contentLength();
    return length >= 0 ? length <= MAX_REPLAYABLE_BYTES : req.isEmpty();
  }
}
