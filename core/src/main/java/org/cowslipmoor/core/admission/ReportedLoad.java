package org.cowslipmoor.core.admission;

/**
 * The load that a target reports.
 *
 * @param running requests that it is running
 * @param waiting requests that wait for a slot
 * @param slots requests that it can run concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {}
