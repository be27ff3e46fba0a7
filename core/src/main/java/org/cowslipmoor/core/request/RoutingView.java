package org.cowslipmoor.core.request;

import org.cowslipmoor.core.configuration.Configuration;
import org.cowslipmoor.core.control.Authority;
import org.cowslipmoor.core.ownership.OwnershipTable;
import org.jspecify.annotations.Nullable;

/**
 * Immutable snapshot of the state by which a host routes requests, shared by all request threads.
 *
 * @param dataCentre the host's data centre
 * @param configuration configuration in effect; null before the first one
 * @param table ownership table in effect; null before the first one
 * @param authority authority of the host to route to owners
 */
public record RoutingView(
    String dataCentre,
    @Nullable Configuration configuration,
    @Nullable OwnershipTable table,
    Authority authority) {}
