package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableSet;
import java.util.function.Function;
import org.cowslipmoor.core.discovery.TargetDirectory;

/**
 * The inputs of the coordinator's decisions.
 *
 * @param services names of the keyed services
 * @param directory the announced targets
 * @param loads returns the measured load of a service
 * @param leaseRecentlyRenewed whether the coordinator's lease was renewed recently; if not, grants
 *     get the long hold, since the store may be unavailable
 */
public record RangeInputs(
    ImmutableSet<String> services,
    TargetDirectory directory,
    Function<String, ServiceLoad> loads,
    boolean leaseRecentlyRenewed) {}
