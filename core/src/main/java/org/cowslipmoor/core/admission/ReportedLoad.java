package org.cowslipmoor.core.admission;

/**
 * What a target tells of its load.
 *
 * @param running requests that it works on
 * @param waiting requests that wait for a slot
 * @param slots requests that it can work on at the same time
 */
public record ReportedLoad(int running, int waiting, int slots) {}
