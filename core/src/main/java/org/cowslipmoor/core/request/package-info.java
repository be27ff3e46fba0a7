/** Decisions on callers' requests: routing, retries, rejections and their result codes. */
@NullMarked
package org.cowslipmoor.core.request;

import org.jspecify.annotations.NullMarked;
