package org.cowslipmoor.daemon.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;

/** Forwards the requests of callers by the routes of the configuration. */
public final class GatewayService implements HttpService {
  private final Gateway gateway;

  /** Creates the service. */
  public GatewayService(Gateway gateway) {
    this.gateway = gateway;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
    HttpResponseWriter writer = HttpResponse.streaming();
    try {
      new GatewayExchange(gateway, ctx, request, writer).start();
    } catch (RuntimeException e) {
      gateway.log().onException(e, System.nanoTime());
      throw e;
    }
    return writer;
  }
}
