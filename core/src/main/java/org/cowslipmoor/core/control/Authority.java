package org.cowslipmoor.core.control;

/**
 * Permits a host to act on one version of the ownership table for a limited time.
 *
 * @param version version of the table
 * @param expiresAt time on the host's clock at which the authority expires
 * @param basis source of the authority
 */
public record Authority(long version, long expiresAt, Basis basis) {

  /** An authority that permits nothing. */
  public static final Authority NONE = new Authority(0, Long.MIN_VALUE, Basis.NONE);

  /** Source of an authority. */
  public enum Basis {
    /** No authority. */
    NONE,
    /** The coordinator's lease in the store. */
    STORE_LEASE,
    /** The attestations of a majority of the data centre's hosts. */
    ATTESTATION
  }

  /** Returns whether the host may act on the given version at the given time. */
  public boolean permits(long requestedVersion, long now) {
    return basis != Basis.NONE && version == requestedVersion && expiresAt - now > 0;
  }
}
