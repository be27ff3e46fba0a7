package org.cowslipmoor.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;

/** Serves the counters as JSON. */
public final class MetricsService implements HttpService {
  private final MetricRegistry metrics;

  /** Creates a service over the given registry. */
  public MetricsService(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, toJson(metrics).toString());
  }

  /** Returns the counters as a JSON object. */
  static ObjectNode toJson(MetricRegistry metrics) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    metrics.getCounters().forEach((name, counter) -> json.put(name, counter.getCount()));
    return json;
  }
}
