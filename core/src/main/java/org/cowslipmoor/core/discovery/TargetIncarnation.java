package org.cowslipmoor.core.discovery;

/**
 * One run of a target's process. A target that starts again under its id is another life, which
 * holds no keys and knows nothing of the former one.
 *
 * @param id the target's id
 * @param startedAt the target's own mark of its start; differs between lives of one id
 */
public record TargetIncarnation(String id, long startedAt) {}
