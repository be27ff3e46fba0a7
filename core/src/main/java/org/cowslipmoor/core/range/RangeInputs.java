package org.cowslipmoor.core.range;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cowslipmoor.core.discovery.TargetDirectory;

/**
 * What the coordinator decides from.
 *
 * @param services names of the keyed services
 * @param directory the targets that are known
 * @param loads measured load by service; even where a service is missing
 * @param leaseCertain whether the coordinator's lease was renewed lately; when not, grants are made
 *     to last, since the store may be away
 */
public record RangeInputs(
    ImmutableSet<String> services,
    TargetDirectory directory,
    ImmutableMap<String, ServiceLoad> loads,
    boolean leaseCertain) {}
