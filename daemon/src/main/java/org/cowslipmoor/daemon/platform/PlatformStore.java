package org.cowslipmoor.daemon.platform;

import java.util.concurrent.CompletableFuture;
import org.cowslipmoor.core.control.StoreCall;
import org.cowslipmoor.core.control.StoreResponse;

/** Reaches the platform's key-value service. */
public interface PlatformStore extends AutoCloseable {

  /**
   * Makes a call for the control decisions. The future never fails: a call without an answer
   * completes with {@link StoreResponse.NoResponse}.
   */
  CompletableFuture<StoreResponse> call(StoreCall call);

  @Override
  void close();
}
