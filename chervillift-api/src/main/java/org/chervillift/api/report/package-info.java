/** What the system tells about the service that callers got. */
package org.chervillift.api.report;
