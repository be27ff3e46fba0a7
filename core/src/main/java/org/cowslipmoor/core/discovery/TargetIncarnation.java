package org.cowslipmoor.core.discovery;

/**
 * Identifies one run of a target's process. A target that restarts under its id is another
 * incarnation, which owns no keys and has no state of the former one.
 *
 * @param id the target's id
 * @param startedAt a number that the target sets at its start; differs between incarnations of an
 *     id
 */
public record TargetIncarnation(String id, long startedAt) {}
