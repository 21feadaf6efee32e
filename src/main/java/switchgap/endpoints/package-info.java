/**
 * The endpoint list: its two wire forms and the clients that follow its versions. On the platform
 * the list arrives as numbered server-sent events of the control feed ({@link
 * switchgap.endpoints.EventStreamClient}, {@link switchgap.endpoints.EndpointListEvent}); at the
 * gateway as lines of JSON from the endpoint list service ({@link
 * switchgap.endpoints.EndpointListWatcher}, {@link switchgap.endpoints.EndpointListLine}).
 *
 * <p>Both clients go through the states of {@link switchgap.endpoints.SubscriptionState} and
 * reconnect after the delays of {@link switchgap.endpoints.ReconnectBackoff}. Whatever happens to
 * the service, the last list stays in force.
 */
package switchgap.endpoints;
