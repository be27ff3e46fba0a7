package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableSet;
import java.util.function.Function;
import org.cowslipmoor.core.discovery.TargetDirectory;

/**
 * What the coordinator decides from.
 *
 * @param services names of the keyed services
 * @param directory the targets that are known
 * @param loads measures the load of a service
 * @param leaseRecentlyRenewed whether the coordinator's lease was renewed lately; when not, grants
 *     are made to last, since the store may be away
 */
public record RangeInputs(
    ImmutableSet<String> services,
    TargetDirectory directory,
    Function<String, ServiceLoad> loads,
    boolean leaseRecentlyRenewed) {}
